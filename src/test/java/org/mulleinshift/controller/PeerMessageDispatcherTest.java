package org.mulleinshift.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.protocol.peer.JobSummary;
import org.mulleinshift.protocol.peer.LeadershipTransfer;

/** Each peer message is passed to the handler of its type only. */
final class PeerMessageDispatcherTest {
  private static final NodeId SENDER = new NodeId("node-1");

  private final List<String> handled = new ArrayList<>();
  private final PeerMessageDispatcher dispatcher = new PeerMessageDispatcher();

  @Test
  void onlyTheHandlerOfTheMessagesTypeGetsItWithItsSender() {
    // Given handlers of two types
    dispatcher.register(JobSummary.class, (sender, summary) -> handled.add("summary " + sender));
    dispatcher.register(
        LeadershipTransfer.class, (sender, transfer) -> handled.add("transfer " + sender));

    // When a message of one type arrives
    dispatcher.dispatch(SENDER, new LeadershipTransfer(3L, 4L, "node-2"));

    // Then only its handler runs
    assertEquals(List.of("transfer node-1"), handled, "handlers that ran");
  }

  @Test
  void aMessageOfATypeWithoutHandlerIsIgnored() {
    // Given a handler of another type
    dispatcher.register(JobSummary.class, (sender, summary) -> handled.add("summary"));

    // When a message without a handler arrives
    dispatcher.dispatch(SENDER, new LeadershipTransfer(3L, 4L, "node-2"));

    // Then no handler runs
    assertEquals(List.of(), handled, "handlers that ran");
  }
}
