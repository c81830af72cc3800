package org.mulleinshift.coordination;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.mulleinshift.bookkeeping.ControlView;
import org.mulleinshift.bookkeeping.JobRecord;
import org.mulleinshift.bookkeeping.Keys;
import org.mulleinshift.bookkeeping.PrefixView;
import org.mulleinshift.bookkeeping.StateStore;
import org.mulleinshift.coordination.membership.Election;
import org.mulleinshift.coordination.membership.Links;
import org.mulleinshift.coordination.membership.PeerProofs;
import org.mulleinshift.coordination.membership.Session;
import org.mulleinshift.coordination.membership.StateLink;
import org.mulleinshift.coordination.membership.Succession;
import org.mulleinshift.coordination.membership.WorkerLink;
import org.mulleinshift.coordination.rollout.Builds;
import org.mulleinshift.margin.HeapMargin;
import org.mulleinshift.protocol.BadMessage;
import org.mulleinshift.protocol.HoldId;
import org.mulleinshift.protocol.JobCodec;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.PeerCodec;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StateCodec.Item;
import org.mulleinshift.protocol.WorkerCodec;
import org.mulleinshift.protocol.peer.Advice;
import org.mulleinshift.protocol.peer.Assignment;
import org.mulleinshift.protocol.peer.BlockReport;
import org.mulleinshift.protocol.peer.Heartbeat;
import org.mulleinshift.protocol.peer.JobDigest;
import org.mulleinshift.protocol.peer.Knock;
import org.mulleinshift.protocol.peer.PeerFrame;
import org.mulleinshift.protocol.peer.ProofAnswer;
import org.mulleinshift.protocol.peer.ProofRequest;
import org.mulleinshift.protocol.peer.Relay;
import org.mulleinshift.protocol.peer.ReportsSeen;
import org.mulleinshift.protocol.peer.Resignation;
import org.mulleinshift.protocol.peer.StrangerReport;
import org.mulleinshift.settings.Leases;
import org.mulleinshift.settings.PlatformSettings;
import org.mulleinshift.settings.Tunables;
import org.mulleinshift.transport.EventLoop;
import org.mulleinshift.transport.HttpCaller;
import org.mulleinshift.transport.PeerLink;
import org.mulleinshift.transport.RateBudget;
import org.mulleinshift.transport.RequestHandler;
import org.mulleinshift.transport.Responder;
import org.mulleinshift.transport.SteadyTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller: joins the parts and sends each message to the one that it concerns. */
public final class Controller implements RequestHandler {
  private static final Logger LOG = LoggerFactory.getLogger(Controller.class);
  private static final Duration HEARTBEAT = Duration.ofSeconds(1);

  /** A leader that falls silent is missed soon. */
  private static final Duration LEADER_HEARTBEAT = Duration.ofMillis(300);

  /** Larger frames are left to the way that heals: what they say is said again in parts. */
  private static final int LONGEST_RELAYED = 1 << 18;

  /** The ways out of the process. */
  public record Outside(
      EventLoop loop,
      HttpCaller state,
      HttpCaller watches,
      HttpCaller cloud,
      HttpCaller workers,
      PeerLink peers,
      HeapMargin margin) {}

  private final EventLoop loop;
  private final PlatformSettings settings;
  private final Tunables tunables;
  private final NodeId self;
  private final PeerLink peers;
  private final HeapMargin margin;
  private final PeerCodec codec = new PeerCodec();
  private final StateRates rates;
  private final StateStore store;
  private final ControlView view = new ControlView();
  private final PrefixView control;
  private final PrefixView jobs;
  private final Set<JobId> cancelled = new HashSet<>();
  private final Links links;
  private final StateLink stateLink;
  private final PeerProofs proofs;
  private final Succession succession;
  private final Map<NodeId, List<Object>> outbox = new HashMap<>();
  private final Session session;
  private final Election election;
  private final Builds builds;
  private final Catalog catalog;
  private final HeldBlocks heldBlocks;
  private final Frontend frontend;
  private final RunTimes runTimes = new RunTimes();
  private final StandbyAdvice advice;
  private final Fleet.Cloud cloud;
  private final List<NodeId> otherZoneFirst = new ArrayList<>();
  private final Readiness readiness;
  private Optional<Leader> leader = Optional.empty();
  private boolean jobsKnown;
  private long badFrames;

  public Controller(PlatformSettings settings, Tunables tunables, Outside outside) {
    this.loop = outside.loop();
    this.settings = settings;
    this.tunables = tunables;
    this.self = new NodeId(settings.label());
    this.advice = new StandbyAdvice(loop, runTimes);
    this.peers = outside.peers();
    settings.members().stream()
        .sorted(Comparator.comparing(member -> member.zone().equals(settings.zone())))
        .forEach(member -> otherZoneFirst.add(new NodeId(member.label())));
    this.margin = outside.margin();
    PlatformSettings.Cluster cluster = settings.cluster();
    this.rates = new StateRates(cluster);
    this.store =
        new StateStore(
            loop,
            outside.state(),
            outside.watches(),
            settings.state(),
            new StateStore.Rates(
                rates.requests(),
                rates.writes(false),
                cluster.state().requestsLeft(),
                cluster.state().writesLeft()));
    Duration spacing = rates.watchSpacing();
    this.control = new PrefixView(loop, store, Keys.CONTROL, spacing, new ControlListener());
    this.jobs = new PrefixView(loop, store, Keys.ACTIVE, spacing, new JobListener());
    this.readiness = new Readiness(loop, this::ready);
    this.links = new Links(loop, self);
    this.stateLink =
        new StateLink(
            loop,
            tunables.seconds(Tunables.Key.STATE_LOST_S),
            rates.probeSpacing(),
            this::probe,
            new StateLinkListener());
    store.tell(stateLink);
    Duration blockLease = Leases.block(cluster.workers(), tunables);
    this.session =
        new Session(
            loop,
            store,
            self,
            blockLease,
            shorter(tunables.seconds(Tunables.Key.RENEW_S), blockLease.dividedBy(5)),
            jobs::provePromptly,
            this::onSessionChange);
    this.election =
        new Election(
            loop,
            store,
            self,
            tunables.seconds(Tunables.Key.LEADER_LEASE_S),
            new ElectionListener(),
            this::yields);
    this.succession =
        new Succession(
            loop,
            self,
            tunables.seconds(Tunables.Key.LEADER_SILENT_S),
            tunables.seconds(Tunables.Key.LEADER_LEASE_S),
            new Succession.Parts(links, view, this::linksWell, () -> beat(true), this::depose));
    this.proofs =
        new PeerProofs(
            loop,
            self,
            new PeerProofs.Parts(store, stateLink, links, session, view, control, jobs),
            this::send);
    this.catalog = new Catalog(loop, outside.cloud(), settings.cloud(), this::onSessionChange);
    this.heldBlocks =
        new HeldBlocks(
            self,
            view,
            session,
            new BlockHolder.Surroundings(
                loop,
                outside.workers(),
                catalog,
                cluster.workers(),
                blockLease,
                cancelled::contains,
                this::onBlockNews),
            new HeldBlocks.Peers(
                settings.members().stream().map(m -> new NodeId(m.label())).toList(),
                this::answersWorkers,
                this::onWorkerLink),
            this::toLeader);
    List<NodeId> all = new ArrayList<>(List.of(self));
    settings.members().forEach(member -> all.add(new NodeId(member.label())));
    this.builds = new Builds(loop, store, self, all, view);
    this.frontend =
        new Frontend(
            loop,
            store,
            catalog,
            cluster,
            tunables.count(Tunables.Key.RETRY_AFTER_S),
            jobs::prove,
            outside.margin()::pressure,
            this::onCancelled);
    this.cloud =
        new Fleet.Cloud(
            outside.cloud(),
            settings.cloud(),
            new RateBudget(loop, cluster.cloudLimits().requestsPerSecond() * 0.6));
  }

  private static Duration shorter(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? one : other;
  }

  public void start() {
    margin.start();
    stateLink.start();
    session.start();
    builds.start();
    control.start();
    jobs.start();
    catalog.start();
    heldBlocks.start();
    succession.start();
    loop.onStandstill(this::stoodStill);
    beatRegularly();
  }

  @Override
  public void handle(String method, String path, String body, Responder responder) {
    if (path.equals(WorkerCodec.CHECKIN)) {
      if (only("POST", method, responder)) {
        heldBlocks.checkin(body, responder);
      }
    } else if (path.equals(JobCodec.RUNS)) {
      if (only("POST", method, responder)) {
        frontend.submit(body, responder);
      }
    } else if (path.startsWith(JobCodec.RUNS + "/")) {
      handleJob(method, path.substring(JobCodec.RUNS.length() + 1), responder);
    } else if (path.equals("/ready")) {
      if (only("GET", method, responder)) {
        readiness.answer(responder);
      }
    } else {
      responder.respond(404, JobCodec.error("no such path"));
    }
  }

  private void handleJob(String method, String rest, Responder responder) {
    int slash = rest.indexOf('/');
    JobId job = new JobId(slash < 0 ? rest : rest.substring(0, slash));
    if (slash < 0) {
      if (only("GET", method, responder)) {
        frontend.poll(job, responder);
      }
    } else if (rest.substring(slash).equals("/withdraw")) {
      if (only("POST", method, responder)) {
        frontend.withdraw(job, responder);
      }
    } else {
      responder.respond(404, JobCodec.error("no such path"));
    }
  }

  private static boolean only(String wanted, String method, Responder responder) {
    if (wanted.equals(method)) {
      return true;
    }
    responder.respond(405, JobCodec.error("method not allowed"));
    return false;
  }

  /** Not ready while only this node is without the state service: others can do better. */
  private boolean ready() {
    boolean started = session.state() == Session.State.HELD && jobsKnown && catalog.known();
    return started && stateLink.state() != StateLink.State.LOST;
  }

  /** How a controller stands to its workers, by its own word. */
  private WorkerLink.State hearing(NodeId node) {
    if (node.equals(self)) {
      return heldBlocks.hearing();
    }
    return links.word(node).map(Links::workers).orElse(WorkerLink.State.WELL);
  }

  private boolean storeLost(NodeId node) {
    return node.equals(self)
        ? stateLink.state() == StateLink.State.LOST
        : links.word(node).filter(Heartbeat::getStoreLost).isPresent();
  }

  /** Whether workers should be sent there: not to one that is silent, or cannot hear them. */
  private boolean answersWorkers(NodeId node) {
    return links.silence(node).compareTo(Links.FRESH) < 0
        && hearing(node).compareTo(WorkerLink.State.DOUBTED) <= 0;
  }

  private void beatRegularly() {
    loop.after(election.leading() ? LEADER_HEARTBEAT : HEARTBEAT, this::beatRegularly);
    beat();
  }

  private void onWorkerLink() {
    LOG.info("links: {}", links.describe());
    beat();
  }

  private void beat() {
    beat(false);
  }

  private void beat(boolean answerSoon) {
    boolean served = stateLink.state() == StateLink.State.SERVED;
    Optional<ControlView.LeaderRecord> seen = served ? view.leader() : Optional.empty();
    Heartbeat beat =
        new Heartbeat(
            session.hold().map(hold -> hold.value()).orElse(0L),
            stateLink.silence().toMillis(),
            stateLink.state() == StateLink.State.LOST,
            heldBlocks.hearing().wireName(),
            seen.map(record -> record.node().value()).orElse(""),
            seen.map(record -> record.term().value()).orElse(0L),
            election.leading() ? succession.choose(otherZoneFirst) : "",
            answerSoon,
            links.heardList());
    settings.members().forEach(member -> send(new NodeId(member.label()), beat));
  }

  private boolean linksWell() {
    return stateLink.state() == StateLink.State.SERVED
        && heldBlocks.hearing() == WorkerLink.State.WELL
        && control.state() == PrefixView.State.WATCHING;
  }

  /** The leader is gone: its lease need not end by itself, every write of its term demands it. */
  private void depose(Election.Standing gone) {
    election.onResignation(gone, true, view);
  }

  private Duration yields() {
    return succession.yields();
  }

  /** A call whose answer tells how the link to the state service is. */
  private void probe() {
    store.get(Keys.LEADER, StateStore.Urgency.URGENT, answer -> {});
  }

  private void onBeat(NodeId sender, Heartbeat beat) {
    links.beat(sender, beat);
    if (beat.getAnswerSoon()) {
      // What the sender asks is whether the service answers anybody just now.
      store.get(Keys.LEADER, StateStore.Urgency.URGENT, answer -> beat());
    }
    leaderByPeers()
        .filter(record -> !record.node().equals(self))
        .filter(record -> election.standing().filter(own -> later(record, own)).isPresent())
        .ifPresent(record -> election.resign("a peer sees another leader"));
  }

  private static boolean later(ControlView.LeaderRecord record, Election.Standing own) {
    return record.term().compareTo(own.term()) > 0;
  }

  /** Of a controller that cannot see for itself who leads, its served peers' word counts. */
  private Optional<ControlView.LeaderRecord> leaderByPeers() {
    return stateLink.state() == StateLink.State.SERVED ? Optional.empty() : links.leaderByPeers();
  }

  /** The newest leader by the own view or by peers. */
  private Optional<ControlView.LeaderRecord> knownLeader() {
    Optional<ControlView.LeaderRecord> seen = view.leader();
    Optional<ControlView.LeaderRecord> told = leaderByPeers();
    boolean newer =
        told.isPresent() && (seen.isEmpty() || told.get().term().compareTo(seen.get().term()) > 0);
    return newer ? told : seen;
  }

  /**
   * This process stood still while the clocks ran on. What it has not heard since says nothing of
   * the others; whatever else was fresh before is checked by the clock where it is acted on.
   */
  private void stoodStill(Duration gap) {
    LOG.warn("stood still for {} ms", gap.toMillis());
    links.stoodStill();
    heldBlocks.stoodStill();
  }

  private void send(NodeId node, Object body) {
    if (node.equals(self)) {
      deliver(self, body);
    } else {
      // What one step has to say to a peer goes in one frame.
      List<Object> waiting = outbox.computeIfAbsent(node, key -> new ArrayList<>());
      waiting.add(body);
      if (waiting.size() == 1) {
        loop.post(() -> flush(node));
      }
    }
  }

  private void flush(NodeId node) {
    byte[] frame = codec.write(self, outbox.remove(node));
    peers.send(node.value(), frame);
    // Where the two don't hear each other a third that hears both brings it, at worst a second
    // time: every message can be repeated.
    if (frame.length <= LONGEST_RELAYED) {
      links
          .relayTo(node)
          .ifPresent(
              third ->
                  peers.send(
                      third.value(),
                      codec.write(self, List.of(new Relay(node.value(), ByteBuffer.wrap(frame))))));
    }
  }

  /** A leader whose lease may be over takes no reports, not even its own. */
  private void toLeader(Object body) {
    if (leader.isPresent() && election.certain()) {
      deliver(self, body);
    } else {
      knownLeader()
          .filter(record -> !record.node().equals(self))
          .ifPresent(record -> send(record.node(), body));
    }
  }

  /** A frame from a peer. */
  public void onFrame(byte[] frame) {
    onFrame(frame, true);
  }

  private void onFrame(byte[] frame, boolean direct) {
    try {
      PeerFrame message = codec.read(frame);
      NodeId sender = new NodeId(message.getSender());
      boolean known = settings.members().stream().anyMatch(m -> m.label().equals(sender.value()));
      if (!known) {
        throw new BadMessage("unknown sender");
      }
      links.heard(sender, direct);
      message.getBodies().forEach(body -> deliver(sender, body));
    } catch (BadMessage e) {
      if (badFrames++ % 100 == 0) {
        LOG.warn("peer frame: {}", e.getMessage());
      }
    }
  }

  /** Brought to us, or to be brought on; never further than one step. */
  private void onRelay(Relay relay) {
    byte[] frame = new byte[relay.getFrame().remaining()];
    relay.getFrame().duplicate().get(frame);
    if (relay.getReceiver().equals(self.value())) {
      onFrame(frame, false);
    } else if (settings.members().stream().anyMatch(m -> m.label().equals(relay.getReceiver()))) {
      peers.send(
          relay.getReceiver(),
          codec.write(self, List.of(new Relay(relay.getReceiver(), relay.getFrame()))));
    }
  }

  private void deliver(NodeId sender, Object body) {
    if (body instanceof Heartbeat beat) {
      onBeat(sender, beat);
    } else if (body instanceof Assignment assignment) {
      heldBlocks.onAssignment(assignment);
    } else if (body instanceof BlockReport report) {
      leader.ifPresent(term -> term.onBlockReport(report));
    } else if (body instanceof ReportsSeen seen) {
      heldBlocks.onReportsSeen(seen);
    } else if (body instanceof StrangerReport report) {
      leader.ifPresent(term -> term.onStranger(report));
    } else if (body instanceof Knock knock) {
      leader.ifPresent(term -> term.onKnock(knock));
    } else if (body instanceof JobDigest digest) {
      frontend.onDigest(digest);
    } else if (body instanceof Relay relay) {
      onRelay(relay);
    } else if (body instanceof Advice told) {
      advice.onAdvice(told);
    } else if (body instanceof ProofRequest request) {
      proofs.onRequest(sender, request);
    } else if (body instanceof ProofAnswer answer) {
      proofs.onAnswer(sender, answer);
    } else if (body instanceof Resignation resignation) {
      onResignation(resignation);
    }
  }

  /** A leader that lost the state service asks the best placed peer to lead. */
  private void resign() {
    Optional<Election.Standing> standing = election.standing();
    List<NodeId> served = links.servedPeers();
    if (standing.isEmpty() || served.isEmpty()) {
      return;
    }
    Resignation resignation =
        new Resignation(
            standing.get().term().value(), standing.get().hold().value(), served.get(0).value());
    LOG.warn("term {} given up, {} is to lead", standing.get().term(), served.get(0));
    election.resign("the state service is lost");
    settings.members().forEach(member -> send(new NodeId(member.label()), resignation));
  }

  private void onResignation(Resignation resignation) {
    if (stateLink.state() == StateLink.State.SERVED) {
      election.onResignation(
          new Election.Standing(
              new Revision(resignation.getTerm()), new HoldId(resignation.getHold())),
          resignation.getSuccessor().equals(self.value()),
          view);
    }
  }

  private void onSessionChange() {
    if (heldBlocks != null) {
      heldBlocks.onControlChange();
      observeElection();
    }
  }

  private void observeElection() {
    boolean ready =
        session.state() == Session.State.HELD
            && stateLink.state() == StateLink.State.SERVED
            && control.state() == PrefixView.State.WATCHING
            && jobsKnown
            && catalog.known();
    election.observe(view, ready);
  }

  private void onBlockNews() {
    heldBlocks.reportSoon();
  }

  private void onCancelled(JobId job) {
    if (cancelled.add(job)) {
      heldBlocks.onCancelled(job);
    }
  }

  private final class StateLinkListener implements StateLink.Listener {
    @Override
    public void doubted() {
      beat(true);
    }

    @Override
    public boolean peerServedSince(SteadyTime moment) {
      return links.anyServedSince(moment);
    }

    @Override
    public void changed(StateLink.State next) {
      LOG.info("links: {}", links.describe());
      beat();
      if (next == StateLink.State.LOST) {
        resign();
        proofs.start();
      }
      observeElection();
    }
  }

  private final class ControlListener implements PrefixView.Listener {
    private boolean grantsChanged;

    @Override
    public void changed(String key, Optional<Item> item) {
      view.apply(key, item);
      grantsChanged |= key.startsWith(Keys.GRANTS);
    }

    @Override
    public void settled(Revision revision) {
      if (grantsChanged) {
        grantsChanged = false;
        session.verifySoon();
      }
      heldBlocks.onControlChange();
      leader.ifPresent(Leader::onControlChange);
      observeElection();
    }
  }

  private final class JobListener implements PrefixView.Listener {
    @Override
    public void changed(String key, Optional<Item> item) {
      JobId id = new JobId(key.substring(Keys.ACTIVE.length()));
      if (item.isEmpty()) {
        cancelled.remove(id);
        frontend.onNoLongerActive(id);
        return;
      }
      Optional<JobRecord> read = JobRecord.read(item.get());
      frontend.onActive(id, read);
      if (read.isEmpty()) {
        leader.ifPresent(term -> term.onUnreadable(id, item.get().value()));
      }
      read.ifPresent(
          record -> {
            if (record.cancelled()) {
              onCancelled(record.id());
            }
            leader.ifPresent(term -> term.onJob(record));
          });
    }

    @Override
    public void settled(Revision revision) {
      jobs.knownAsOf().ifPresent(session::cancellationsKnown);
      if (!jobsKnown) {
        jobsKnown = true;
        observeElection();
      }
    }
  }

  private final class ElectionListener implements Election.Listener {
    @Override
    public void won(Revision term) {
      Leader next =
          new Leader(
              new Leader.Surroundings(
                  loop,
                  store,
                  settings,
                  tunables,
                  self,
                  view,
                  catalog,
                  runTimes,
                  advice,
                  builds,
                  succession::named,
                  links::silence,
                  Controller.this::hearing,
                  Controller.this::storeLost,
                  Controller.this::send,
                  election::certain,
                  () -> election.resign("another leader's term")),
              cloud,
              term);
      leader = Optional.of(next);
      store.writeRate(rates.writes(true));
      next.start();
    }

    @Override
    public void lost() {
      leader.ifPresent(Leader::retire);
      leader = Optional.empty();
      store.writeRate(rates.writes(false));
      loop.after(Duration.ofMillis(500), Controller.this::observeElection);
    }
  }
}
