package org.mulleinshift.api;

import java.util.function.Consumer;

/** Confirms that this node's view of the active jobs is at least as fresh as a request. */
@FunctionalInterface
public interface ViewFreshnessCheck {
  /**
   * Starts a check.
   *
   * @param result receives true once the view shows all changes stored before this call, or false
   *     if that could not be confirmed
   */
  void confirmCurrent(Consumer<Boolean> result);
}
