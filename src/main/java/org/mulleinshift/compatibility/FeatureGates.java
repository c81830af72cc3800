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
 * Which feature level each controller has published. A process publishes its own once, under a key
 * that outlives it: a controller that was upgraded does not come back with an older build. What an
 * older build would misread is written only after all members have published a level that reads it;
 * since none of these keys is ever deleted, every later leader finds the same.
 */
public final class FeatureGates {
  private static final Logger LOG = LoggerFactory.getLogger(FeatureGates.class);
  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

  /** From this level on a chunk of progress may be split. */
  public static final int SPLIT_CHUNKS = 1;

  /** From this level on progress may be stored in the log. */
  public static final int PROGRESS_LOG = 2;

  /** From this level on controllers announce cancellations to each other. */
  public static final int CANCELLATION_NOTICES = 3;

  /** From this level on no controller calls a job waiting whose dependency ended as cancelled. */
  public static final int DEPENDENCY_VERIFICATION = 4;

  private static final int OWN_LEVEL = DEPENDENCY_VERIFICATION;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final NodeId self;
  private final List<NodeId> members;
  private final ClusterView view;
  private int loggedLevel;

  /**
   * Gates that are closed until all members have published their levels.
   *
   * @param members all configured controllers, this one included
   * @param view where the published levels are read
   */
  public FeatureGates(
      EventLoop loop, KeyValueStore store, NodeId self, List<NodeId> members, ClusterView view) {
    this.loop = loop;
    this.store = store;
    this.self = self;
    this.members = members;
    this.view = view;
  }

  /** Publishes the feature level of this process, unless that or a newer one is stored. */
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

  /** Whether all members have published that feature level, or a newer one. */
  public boolean allSupport(int level) {
    boolean all =
        members.stream().allMatch(node -> view.featureLevels().getOrDefault(node, 0) >= level);
    if (all && loggedLevel < level) {
      loggedLevel = level;
      LOG.info("feature level supported by all controllers, level={}", level);
    }
    return all;
  }
}
