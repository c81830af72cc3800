package org.mulleinshift.controller;

import java.util.Optional;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.store.PrefixWatcher;
import org.mulleinshift.store.StoreKeys;

/** Applies changes of the control keys to the view, and reports them once it is consistent. */
final class ControlKeysListener implements PrefixWatcher.Listener {
  private final ClusterView view;
  private final Runnable onGrantsChanged;
  private final Runnable onViewChanged;
  private boolean grantsChanged;

  /**
   * Creates a listener.
   *
   * @param view is updated with each change
   * @param onGrantsChanged called after a group of changes that includes shard grants, before
   *     {@code onViewChanged}
   * @param onViewChanged called after each group of changes
   */
  ControlKeysListener(ClusterView view, Runnable onGrantsChanged, Runnable onViewChanged) {
    this.view = view;
    this.onGrantsChanged = onGrantsChanged;
    this.onViewChanged = onViewChanged;
  }

  @Override
  public void onChange(String key, Optional<KeyValue> item) {
    view.apply(key, item);
    grantsChanged |= key.startsWith(StoreKeys.GRANTS);
  }

  @Override
  public void onCaughtUp(Revision revision) {
    view.markCurrentAsOf(revision);
    if (grantsChanged) {
      grantsChanged = false;
      onGrantsChanged.run();
    }
    onViewChanged.run();
  }
}
