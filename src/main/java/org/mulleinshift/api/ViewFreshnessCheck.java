package org.mulleinshift.api;

import java.util.function.Consumer;

/** Checks that this node's view of the active jobs is as fresh as a question about one of them. */
@FunctionalInterface
public interface ViewFreshnessCheck {
  /**
   * Starts a check.
   *
   * @param result gets true once the view shows all changes stored before this call, false if that
   *     could not be confirmed
   */
  void confirmCurrent(Consumer<Boolean> result);
}
