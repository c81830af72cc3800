package org.mulleinshift.compatibility;

import java.time.Duration;
import java.util.List;
import org.mulleinshift.model.ClusterView;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StoreCodec.Guard;
import org.mulleinshift.protocol.StoreCodec.Item;
import org.mulleinshift.protocol.StoreCodec.Write;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.store.KeyValueStore.Answer;
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
  public static final int PARTS = 1;

  /** Since this build progress may stand in the log. */
  public static final int PROGRESS_LOG = 2;

  private static final int OWN = PROGRESS_LOG;

  private final EventLoop loop;
  private final KeyValueStore store;
  private final NodeId self;
  private final List<NodeId> members;
  private final ClusterView view;
  private int told;

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
        StoreKeys.build(self),
        KeyValueStore.Urgency.URGENT,
        answer -> {
          if (answer instanceof Answer.Absent<Item>) {
            show(new Revision(0));
          } else if (answer instanceof Answer.Found<Item> found) {
            if (found.value().value().path("build").asInt() < OWN) {
              show(found.value().version());
            }
          } else {
            loop.after(RETRY, this::start);
          }
        });
  }

  private void show(Revision version) {
    String key = StoreKeys.build(self);
    store.commit(
        List.of(new Guard(key, version)),
        List.of(Write.put(key, ClusterView.buildValue(OWN))),
        KeyValueStore.Urgency.URGENT,
        outcome -> {
          if (!(outcome instanceof KeyValueStore.Outcome.Committed)) {
            loop.after(RETRY, this::start);
          }
        });
  }

  /** Whether all members have shown that build, or a newer one. */
  public boolean all(int build) {
    boolean all = members.stream().allMatch(node -> view.builds().getOrDefault(node, 0) >= build);
    if (all && told < build) {
      told = build;
      LOG.info("all controllers have shown build {}: its forms may be written", build);
    }
    return all;
  }
}
