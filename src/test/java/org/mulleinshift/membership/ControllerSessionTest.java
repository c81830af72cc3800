package org.mulleinshift.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.ShardId;
import org.mulleinshift.store.KeyValueStore;
import org.mulleinshift.transport.HttpRequest;
import org.mulleinshift.transport.HttpResponse;
import org.mulleinshift.transport.MonotonicTime;

/**
 * Guards against an owner that acts on something older than it may: on grants from before a newer
 * read of them, because the store served two reads in another order than they were sent; or on what
 * it read before its session was registered.
 */
final class ControllerSessionTest {
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final ShardId SHARD = new ShardId("a-0");
  private static final Revision GRANT = new Revision(40);
  private static final Revision NEXT_GRANT = new Revision(50);

  private final VirtualEventLoop loop = new VirtualEventLoop();
  private final List<Consumer<HttpResponse>> grantReads = new ArrayList<>();
  private int cancellationChecks;
  private final ControllerSession session =
      new ControllerSession(
          loop,
          new KeyValueStore(
              loop,
              this::answerStoreCall,
              this::answerStoreCall,
              new InetSocketAddress(1),
              new KeyValueStore.Rates(1000, 1000, 1, 1)),
          new NodeId("node-0"),
          Duration.ofSeconds(10),
          Duration.ofSeconds(2),
          () -> cancellationChecks++,
          () -> {});

  /** Answers all calls but reads of the grants, whose responses the tests give. */
  private void answerStoreCall(
      InetSocketAddress target, HttpRequest request, Consumer<HttpResponse> reply) {
    String path = request.path();
    if (path.startsWith("/keys?")) {
      grantReads.add(reply);
    } else if (path.startsWith("/keys/")) {
      reply.accept(new HttpResponse(NOT_FOUND, "{\"epoch\":1}"));
    } else {
      reply.accept(new HttpResponse(OK, path.equals("/holds") ? "{\"hold\":7}" : "{\"epoch\":2}"));
    }
  }

  private static HttpResponse grants(Revision storeRevision, String owner, Revision grant) {
    String row =
        "{\"k\":\"c/g/a-0\",\"value\":{\"holder\":\"" + owner + "\"},\"stamp\":" + grant + "}";
    return new HttpResponse(
        OK, "{\"rows\":[" + row + "],\"more\":false,\"epoch\":" + storeRevision + "}");
  }

  /** Starts the session, and has two reads of the grants sent one after the other. */
  private void sendTwoReads() {
    session.start();
    loop.runFor(0.1);
    session.scheduleGrantVerification();
    loop.runFor(0.1);
    session.onCancellationsKnown(loop.now());
    assertEquals(2, grantReads.size());
  }

  @Test
  void olderReadDoesNotTakeBackAGrant() {
    sendTwoReads();
    grantReads.get(0).accept(grants(new Revision(51), "node-0", NEXT_GRANT));
    grantReads.get(1).accept(grants(new Revision(45), "node-1", GRANT));
    assertEquals(Map.of(SHARD, NEXT_GRANT), session.verifiedGrants());
  }

  @Test
  void olderReadDoesNotRestoreALostGrant() {
    sendTwoReads();
    grantReads.get(0).accept(grants(new Revision(51), "node-1", NEXT_GRANT));
    grantReads.get(1).accept(grants(new Revision(45), "node-0", GRANT));
    assertEquals(Map.of(), session.verifiedGrants());
  }

  @Test
  void newerReadThatWasSentFirstCounts() {
    sendTwoReads();
    grantReads.get(1).accept(grants(new Revision(45), "node-0", GRANT));
    grantReads.get(0).accept(grants(new Revision(51), "node-1", NEXT_GRANT));
    assertEquals(Map.of(), session.verifiedGrants());
  }

  @Test
  void olderReadExtendsTheLeaseFromWhenItWasSent() {
    sendTwoReads();
    MonotonicTime secondSent = loop.now();
    grantReads.get(0).accept(grants(new Revision(51), "node-0", NEXT_GRANT));
    grantReads.get(1).accept(grants(new Revision(45), "node-1", GRANT));
    assertTrue(session.isValidOwner(SHARD, NEXT_GRANT), "valid as of " + secondSent);
  }

  @Test
  void actsOnlyOnceItKnowsTheCancellationsAsOfItsSession() {
    MonotonicTime beforeSession = loop.now();
    loop.runFor(0.1);
    session.start();
    loop.runFor(0.1);
    grantReads.get(0).accept(grants(new Revision(51), "node-0", NEXT_GRANT));
    int checks = cancellationChecks;
    session.onCancellationsKnown(beforeSession);
    assertFalse(session.isValidOwner(SHARD, NEXT_GRANT));
    assertEquals(checks + 1, cancellationChecks, "checked again at once");
    session.onCancellationsKnown(loop.now());
    assertTrue(session.isValidOwner(SHARD, NEXT_GRANT));
  }
}
