package org.mulleinshift.simulation;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.mulleinshift.simulation.time.Timeline;
import org.mulleinshift.transport.HttpResponse;

/** Open watches of the simulated store: requests that wait for changes of keys with a prefix. */
final class StoreWatches {
  private static final double MILLIS_PER_SECOND = 1000;

  private record Watch(
      String controller,
      String prefix,
      long fromRevision,
      double deadline,
      boolean waits,
      Consumer<HttpResponse> reply) {}

  private static final HttpResponse GONE = new HttpResponse(HttpStatus.GONE, "{}");

  private final Timeline timeline;
  private final StoredKeys keys;
  private final StoreFaults faults;
  private final ObjectMapper json = new ObjectMapper();
  private final List<Watch> watches = new ArrayList<>();

  StoreWatches(Timeline timeline, StoredKeys keys, StoreFaults faults) {
    this.timeline = timeline;
    this.keys = keys;
    this.faults = faults;
  }

  void open(String controller, String path, Consumer<HttpResponse> reply) {
    Map<String, String> query = QueryParameters.of(path);
    long fromRevision = Long.parseLong(query.get("from"));
    if (fromRevision < keys.compactedRevision()) {
      reply.accept(GONE);
      return;
    }
    double wait = Double.parseDouble(query.getOrDefault("hold_ms", "0")) / MILLIS_PER_SECOND;
    double deadline = timeline.seconds() + wait;
    watches.add(
        new Watch(controller, query.get("starts"), fromRevision, deadline, wait > 0, reply));
    respondToReady();
  }

  /** Responds to the watches that have changes to report or have reached their deadline. */
  void respondToReady() {
    List<Watch> ready = watches.stream().filter(this::isReady).toList();
    watches.removeAll(ready);
    ready.forEach(watch -> faults.deliverChanges(watch.prefix(), answer(watch), watch.reply()));
  }

  private HttpResponse answer(Watch watch) {
    if (watch.fromRevision() < keys.compactedRevision()) {
      // The history was compacted after the watch had been opened.
      return GONE;
    }
    ObjectNode node = json.createObjectNode();
    node.put("epoch", keys.revision());
    node.putArray("news").addAll(changesFor(watch));
    return HttpResponse.bounded(HttpStatus.OK, node.toString());
  }

  private boolean isReady(Watch watch) {
    boolean due = timeline.seconds() >= watch.deadline() || !changesFor(watch).isEmpty();
    return due && !isWithheld(watch) && !faults.unavailableTo(watch.controller());
  }

  private boolean isWithheld(Watch watch) {
    return watch.waits()
        ? faults.withholdsWatchResponse(watch.controller())
        : faults.withholdsReadOfChanges(watch.controller());
  }

  private List<ObjectNode> changesFor(Watch watch) {
    return keys.changesAfter(watch.fromRevision(), watch.prefix());
  }
}
