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
 * Which build each controller has shown. A process shows its own once, under a key that outlives
 * it: a controller that had its turn does not come back older. What an older build would misread is
 * written only after all members have shown one that reads it; since no key of these is ever taken
 * back, every later leader finds the same.
 */
public final class FeatureGates {
  private static final Logger LOG = LoggerFactory.getLogger(FeatureGates.class);
  private static final Duration RETRY = Duration.ofSeconds(1);

  /** Since this build a chunk of progress may be cut into parts. */
  public static final int SPLIT_CHUNKS = 1;

  /** Since this build progress may stand in the log. */
  public static final int PROGRESS_LOG = 2;

  private static final int OWN_LEVEL = PROGRESS_LOG;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final NodeId self;
  private final List<NodeId> members;
  private final ClusterView view;
  private int loggedLevel;

  /** Of all configured members, this one included. */
  public FeatureGates(
      EventLoop loop, KeyValueStore store, NodeId self, List<NodeId> members, ClusterView view) {
    this.loop = loop;
    this.store = store;
    this.self = self;
    this.members = members;
    this.view = view;
  }

  /** Shows the build of this process. */
  public void start() {
    store.get(
        StoreKeys.featureLevel(self),
        KeyValueStore.Urgency.URGENT,
        answer -> {
          if (answer instanceof ReadResult.Absent<KeyValue>) {
            publish(new Revision(0));
          } else if (answer instanceof ReadResult.Found<KeyValue> found) {
            if (found.value().value().path("build").asInt() < OWN_LEVEL) {
              publish(found.value().revision());
            }
          } else {
            loop.after(RETRY, this::start);
          }
        });
  }

  private void publish(Revision version) {
    String key = StoreKeys.featureLevel(self);
    store.commit(
        List.of(new Compare(key, version)),
        List.of(Write.put(key, ClusterView.featureLevelValue(OWN_LEVEL))),
        KeyValueStore.Urgency.URGENT,
        outcome -> {
          if (!(outcome instanceof KeyValueStore.CommitResult.Committed)) {
            loop.after(RETRY, this::start);
          }
        });
  }

  /** Whether all members have shown that build, or a newer one. */
  public boolean allSupport(int build) {
    boolean all =
        members.stream().allMatch(node -> view.featureLevels().getOrDefault(node, 0) >= build);
    if (all && loggedLevel < build) {
      loggedLevel = build;
      LOG.info("all controllers have shown build {}: its forms may be written", build);
    }
    return all;
  }
}
