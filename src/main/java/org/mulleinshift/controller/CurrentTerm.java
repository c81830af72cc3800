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

/** Creates and starts the leader when this controller is elected, and stops it with the term. */
final class CurrentTerm implements LeaderElection.Listener {
  /** Time after the end of its term before this controller may stand for election again. */
  private static final Duration CANDIDACY_DELAY = Duration.ofMillis(500);

  private final EventLoop loop;
  private final KeyValueStore store;
  private final StoreRateLimits rateLimits;
  private final Function<Revision, Leader> leaderFactory;
  private final Runnable onCandidacyAllowed;
  private Optional<Leader> leader = Optional.empty();

  /**
   * Creates an instance without a term.
   *
   * @param loop the event loop
   * @param store its write rate is set when a term begins and ends
   * @param rateLimits provides the write rates
   * @param leaderFactory creates the leader of a term
   * @param onCandidacyAllowed called once this controller may stand for election again
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

  /** Returns whether a term of this controller has begun and not ended. */
  boolean exists() {
    return leader.isPresent();
  }

  /** Runs the action with the leader if this controller leads; otherwise does nothing. */
  void ifLeading(Consumer<Leader> action) {
    leader.ifPresent(action);
  }
}
