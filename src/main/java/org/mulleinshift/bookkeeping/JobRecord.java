package org.mulleinshift.bookkeeping;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.mulleinshift.protocol.BadMessage;
import org.mulleinshift.protocol.JobCodec;
import org.mulleinshift.protocol.JobId;
import org.mulleinshift.protocol.JobPhase;
import org.mulleinshift.protocol.JobSpec;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.Revision;
import org.mulleinshift.protocol.StateCodec.Item;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** An accepted job as the state service keeps it. */
public record JobRecord(JobSpec spec, long acceptedMillis, boolean cancelled, Revision version) {
  private static final Logger LOG = LoggerFactory.getLogger(JobRecord.class);

  public static JsonNode value(JobSpec spec, long acceptedMillis, boolean cancelled) {
    ObjectNode node = Json.object();
    node.set("spec", JobCodec.write(spec));
    node.put("at", acceptedMillis);
    node.put("cancelled", cancelled);
    return node;
  }

  public static Optional<JobRecord> read(Item item) {
    try {
      return Optional.of(
          new JobRecord(
              JobCodec.parse(item.value().path("spec")),
              item.value().path("at").asLong(),
              item.value().path("cancelled").asBoolean(),
              item.version()));
    } catch (BadMessage e) {
      LOG.error("{}: unreadable job record: {}", item.key(), e.getMessage());
      return Optional.empty();
    }
  }

  public static JsonNode endedValue(JobPhase phase) {
    return Json.object().put("phase", phase.wire());
  }

  public static JobPhase endedPhase(Item item) {
    return item.value().path("phase").asText().equals(JobPhase.DONE.wire())
        ? JobPhase.DONE
        : JobPhase.CANCELLED;
  }

  public JobId id() {
    return spec.id();
  }
}
