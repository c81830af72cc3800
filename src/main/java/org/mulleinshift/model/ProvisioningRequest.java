package org.mulleinshift.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.transport.MonotonicTime;

/** A rental asked for. Its name is stored before it is first used and never used again. */
public final class ProvisioningRequest {
  /** Steps of a rental. */
  public enum State {
    /** Its name is being stored. */
    PLANNED,
    /** The cloud may have it. Only a clear answer ends this state. */
    SENT,
    /** Answered; the outcome is being stored. */
    ANSWERED
  }

  private final String name;
  private final MachineTypeId type;
  private final ZoneId zone;
  private final boolean spot;
  private final int count;
  private final MonotonicTime plannedAt;
  private State state;

  public ProvisioningRequest(
      String name,
      MachineTypeId type,
      ZoneId zone,
      boolean spot,
      int count,
      MonotonicTime plannedAt,
      State state) {
    this.name = name;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.count = count;
    this.plannedAt = plannedAt;
    this.state = state;
  }

  /** The only place where a rental's state changes. */
  public void transitionTo(State next) {
    if (next.compareTo(state) < 0) {
      throw new IllegalStateException(name + ": " + state + " to " + next);
    }
    state = next;
  }

  public JsonNode write() {
    ObjectNode node = Json.object();
    node.put("type", type.value());
    node.put("zone", zone.value());
    node.put("spot", spot);
    node.put("count", count);
    return node;
  }

  /** Its name may stand in the store in a form that this build can't read; then it is not asked. */
  public static ProvisioningRequest read(String name, JsonNode value, MonotonicTime now)
      throws MalformedMessageException {
    return new ProvisioningRequest(
        name,
        new MachineTypeId(Json.text(value, "type")),
        new ZoneId(Json.text(value, "zone")),
        Json.flag(value, "spot"),
        (int) Json.count(value, "count", 1, Integer.MAX_VALUE),
        now,
        State.SENT);
  }

  public String name() {
    return name;
  }

  public MachineTypeId type() {
    return type;
  }

  public ZoneId zone() {
    return zone;
  }

  public boolean spot() {
    return spot;
  }

  public int count() {
    return count;
  }

  public MonotonicTime plannedAt() {
    return plannedAt;
  }

  public State state() {
    return state;
  }
}
