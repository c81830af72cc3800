package org.mulleinshift.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.protocol.Json;

/**
 * Fields of a stored record that this build doesn't know, because a newer build wrote them. They
 * are kept unchanged when this build rewrites the record.
 */
public final class UnknownFields {
  private final ObjectNode fields;

  private UnknownFields(ObjectNode fields) {
    this.fields = fields;
  }

  /**
   * Returns the fields of a stored record that this build's form of it lacks, also within nested
   * objects; empty if there are none. Null fields, and nested objects without unknown fields, are
   * left out.
   *
   * @param known the record as this build writes it
   */
  public static Optional<UnknownFields> find(JsonNode known, JsonNode stored) {
    ObjectNode unknown = missingFrom(known, stored);
    return unknown.isEmpty() ? Optional.empty() : Optional.of(new UnknownFields(unknown));
  }

  private static ObjectNode missingFrom(JsonNode known, JsonNode stored) {
    ObjectNode missing = Json.object();
    for (Map.Entry<String, JsonNode> field : stored.properties()) {
      JsonNode own = known.path(field.getKey());
      if (own.isMissingNode() && !field.getValue().isNull()) {
        missing.set(field.getKey(), field.getValue());
      } else if (own.isObject() && field.getValue().isObject()) {
        ObjectNode inner = missingFrom(own, field.getValue());
        if (!inner.isEmpty()) {
          missing.set(field.getKey(), inner);
        }
      }
    }
    return missing;
  }

  /** Adds the fields to this build's form of the record; existing fields are not overwritten. */
  public void restore(JsonNode target) {
    restore((ObjectNode) target, fields);
  }

  private static void restore(ObjectNode target, ObjectNode source) {
    source
        .properties()
        .forEach(
            field -> {
              JsonNode own = target.get(field.getKey());
              if (own instanceof ObjectNode innerTarget
                  && field.getValue() instanceof ObjectNode innerSource) {
                restore(innerTarget, innerSource);
              } else if (own == null) {
                target.set(field.getKey(), field.getValue());
              }
            });
  }
}
