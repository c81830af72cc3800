package org.mulleinshift.controller;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.mulleinshift.leader.Leader;
import org.mulleinshift.membership.LeaderElection;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.transport.EventLoop;

/** Starts the leader's work when this controller is elected, and ends it with the term. */
final class CurrentTerm implements LeaderElection.Listener {
  /** After the end of a term, before this controller may stand for election again. */
  private static final Duration CANDIDACY_DELAY = Duration.ofMillis(500);

  private final EventLoop loop;
  private final KeyValueStore store;
  private final StoreRateLimits rateLimits;
  private final Function<Revision, Leader> leaderFactory;
  private final Runnable onCandidacyAllowed;
  private Optional<Leader> leader = Optional.empty();

  /**
   * No term yet.
   *
   * @param loop the event loop
   * @param store its rate of writes depends on who leads
   * @param rateLimits of the store
   * @param leaderFactory creates the leader of a term
   * @param onCandidacyAllowed lets this controller stand for election if it can
   */
  CurrentTerm(
      EventLoop loop,
      KeyValueStore store,
      StoreRateLimits rateLimits,
      Function<Revision, Leader> leaderFactory,
      Runnable onCandidacyAllowed) {
    this.loop = loop;
    this.store = store;
    this.rateLimits = rateLimits;
    this.leaderFactory = leaderFactory;
    this.onCandidacyAllowed = onCandidacyAllowed;
  }

  @Override
  public void onElected(Revision term) {
    Leader next = leaderFactory.apply(term);
    leader = Optional.of(next);
    store.setWriteRate(rateLimits.leaderWritesPerSecond());
    next.start();
  }

  @Override
  public void onLeadershipLost() {
    leader.ifPresent(Leader::retire);
    leader = Optional.empty();
    store.setWriteRate(rateLimits.followerWritesPerSecond());
    loop.after(CANDIDACY_DELAY, onCandidacyAllowed);
  }

  /** Whether a term of this controller has begun and not ended. */
  boolean exists() {
    return leader.isPresent();
  }

  /** Does something with the leader if this controller leads. */
  void ifLeading(Consumer<Leader> action) {
    leader.ifPresent(action);
  }
}
