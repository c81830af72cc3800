package org.mulleinshift.compatibility;

import java.time.Duration;
import java.util.List;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.Compare;
import org.mulleinshift.protocol.StoreCodec.KeyValue;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.KeyValueStore.ReadResult;
import org.mulleinshift.store.StoreKeys;
import org.mulleinshift.transport.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Enables features that older builds don't support, once all members of the cluster support them.
 * Each controller publishes its feature level under a key that outlives the process: a controller
 * that was upgraded does not come back with an older build. Data that an older build would misread
 * is written only after all members have published a level that can read it. These keys are never
 * deleted, so every later leader comes to the same result.
 */
public final class FeatureGates {
  private static final Logger LOG = LoggerFactory.getLogger(FeatureGates.class);
  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

  /** From this level on, a controller can read progress chunks that were split. */
  public static final int SPLIT_CHUNKS = 1;

  /** From this level on, a controller can read progress from the progress log. */
  public static final int PROGRESS_LOG = 2;

  /** From this level on, a controller understands announcements of cancellations. */
  public static final int CANCELLATION_NOTICES = 3;

  /**
   * From this level on, a controller never reports a job as waiting if one of its dependencies
   * ended as cancelled.
   */
  public static final int DEPENDENCY_VERIFICATION = 4;

  private static final int OWN_LEVEL = DEPENDENCY_VERIFICATION;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final NodeId self;
  private final List<NodeId> members;
  private final ClusterView view;
  private int loggedLevel;

  /**
   * Creates gates that are closed until all members have published their levels.
   *
   * @param members all configured controllers, including this one
   * @param view provides the published levels
   */
  public FeatureGates(
      EventLoop loop, KeyValueStore store, NodeId self, List<NodeId> members, ClusterView view) {
    this.loop = loop;
    this.store = store;
    this.self = self;
    this.members = members;
    this.view = view;
  }

  /** Publishes the feature level of this build, unless the stored level is at least as high. */
  public void start() {
    store.get(
        StoreKeys.featureLevel(self),
        KeyValueStore.Urgency.URGENT,
        result -> {
          if (result instanceof ReadResult.Absent<KeyValue>) {
            publish(new Revision(0));
          } else if (result instanceof ReadResult.Found<KeyValue> found) {
            if (ClusterView.readFeatureLevel(found.value()) < OWN_LEVEL) {
              publish(found.value().revision());
            }
          } else {
            loop.after(RETRY_DELAY, this::start);
          }
        });
  }

  private void publish(Revision revision) {
    String key = StoreKeys.featureLevel(self);
    store.commit(
        List.of(new Compare(key, revision)),
        List.of(Write.put(key, ClusterView.featureLevelValue(OWN_LEVEL))),
        KeyValueStore.Urgency.URGENT,
        outcome -> {
          if (!(outcome instanceof KeyValueStore.CommitResult.Committed)) {
            loop.after(RETRY_DELAY, this::start);
          }
        });
  }

  /** Returns whether the controller is known to have published the given level or a higher one. */
  public boolean supports(NodeId node, int level) {
    return view.featureLevels().getOrDefault(node, 0) >= level;
  }

  /** Returns whether all members have published the given feature level or a higher one. */
  public boolean allSupport(int level) {
    boolean all = members.stream().allMatch(node -> supports(node, level));
    if (all && loggedLevel < level) {
      loggedLevel = level;
      LOG.info("feature level supported by all controllers, level={}", level);
    }
    return all;
  }
}
