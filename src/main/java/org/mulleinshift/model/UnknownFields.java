package org.mulleinshift.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import org.mulleinshift.protocol.Json;

/**
 * Fields of a stored record that this build doesn't know: a newer one wrote them. They are kept as
 * they are when this build rewrites the record.
 */
public final class UnknownFields {
  private final ObjectNode fields;

  private UnknownFields(ObjectNode fields) {
    this.fields = fields;
  }

  /**
   * What the stored record has and this build's form of it lacks, objects within objects included.
   * Empty objects and null fields need not be kept.
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

  /** Puts the fields back into this build's form of the record. */
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
