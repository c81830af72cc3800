package org.mulleinshift.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.transport.MonotonicTime;

/**
 * A request to the cloud for machines. Its name is stored before it is first used and is never
 * reused.
 */
public final class ProvisioningRequest {
  private static final String TYPE = "type";
  private static final String ZONE = "zone";
  private static final String SPOT = "spot";
  private static final String COUNT = "count";

  /** Steps of a request. */
  public enum State {
    /** Its name is being stored. */
    PLANNED,
    /** The cloud may have received it. Only a definite answer ends this state. */
    SENT,
    /** Answered; the result is being stored. */
    ANSWERED
  }

  private final String name;
  private final MachineTypeId type;
  private final ZoneId zone;
  private final boolean spot;
  private final int count;
  private final MonotonicTime plannedAt;
  private State state;

  /**
   * A request for machines of one type in one zone.
   *
   * @param spot whether they may be interrupted by the cloud
   * @param count number of machines
   */
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

  /** The only place where a request's state changes; it never goes back. */
  public void transitionTo(State next) {
    if (next.compareTo(state) < 0) {
      throw new IllegalStateException(name + ": " + state + " to " + next);
    }
    state = next;
  }

  /** The stored form. */
  public JsonNode write() {
    ObjectNode node = Json.object();
    node.put(TYPE, type.value());
    node.put(ZONE, zone.value());
    node.put(SPOT, spot);
    node.put(COUNT, count);
    return node;
  }

  /**
   * Reads the stored form. The cloud may have received the request: an earlier leader stored it
   * before it sent it.
   *
   * @throws MalformedMessageException if this build can't read it; then it may not be sent
   */
  public static ProvisioningRequest read(String name, JsonNode value, MonotonicTime now)
      throws MalformedMessageException {
    return new ProvisioningRequest(
        name,
        new MachineTypeId(Json.text(value, TYPE)),
        new ZoneId(Json.text(value, ZONE)),
        Json.flag(value, SPOT),
        (int) Json.count(value, COUNT, 1, Integer.MAX_VALUE),
        now,
        State.SENT);
  }

  /** Its name, which the cloud knows it by. */
  public String name() {
    return name;
  }

  /** The type of the machines. */
  public MachineTypeId type() {
    return type;
  }

  /** The zone of the machines. */
  public ZoneId zone() {
    return zone;
  }

  /** Whether the machines may be interrupted by the cloud. */
  public boolean spot() {
    return spot;
  }

  /** The number of machines. */
  public int count() {
    return count;
  }

  /** When it was planned, or read from the store. */
  public MonotonicTime plannedAt() {
    return plannedAt;
  }

  /** Its state. */
  public State state() {
    return state;
  }
}
