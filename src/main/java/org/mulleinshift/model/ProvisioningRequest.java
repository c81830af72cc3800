package org.mulleinshift.model;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mulleinshift.protocol.Json;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.MalformedMessageException;
import org.mulleinshift.protocol.ZoneId;
import org.mulleinshift.transport.MonotonicTime;

/**
 * A request to the cloud for machines. It is stored under its name before it is sent, and the name
 * is never reused.
 */
public final class ProvisioningRequest {
  private static final String TYPE = "type";
  private static final String ZONE = "zone";
  private static final String SPOT = "spot";
  private static final String COUNT = "count";

  /** States of a request, in the order in which it passes through them. */
  public enum State {
    /** It is being stored. */
    PLANNED,
    /** The cloud may have received it; only a definite answer ends this state. */
    SENT,
    /** The cloud has answered; the result is being stored. */
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
   * Creates a request for machines of one type in one zone.
   *
   * @param spot whether the cloud may interrupt the machines
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

  /** Changes the state, which never returns to an earlier one. */
  public void transitionTo(State next) {
    if (next.compareTo(state) < 0) {
      throw new IllegalStateException(
          "provisioning request "
              + name
              + ": invalid state transition from "
              + state
              + " to "
              + next);
    }
    state = next;
  }

  /** Returns the stored form. */
  public JsonNode write() {
    ObjectNode node = Json.object();
    node.put(TYPE, type.value());
    node.put(ZONE, zone.value());
    node.put(SPOT, spot);
    node.put(COUNT, count);
    return node;
  }

  /**
   * Reads the stored form. The request counts as sent: an earlier leader stored it before sending
   * it, so the cloud may have received it.
   *
   * @throws MalformedMessageException if this build can't read it; then it must not be sent
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

  /** Returns the name that identifies it to the cloud. */
  public String name() {
    return name;
  }

  /** Returns the type of the machines. */
  public MachineTypeId type() {
    return type;
  }

  /** Returns the zone of the machines. */
  public ZoneId zone() {
    return zone;
  }

  /** Whether the cloud may interrupt the machines. */
  public boolean spot() {
    return spot;
  }

  /** Returns the number of machines. */
  public int count() {
    return count;
  }

  /** Returns when it was planned, or when it was read from the store. */
  public MonotonicTime plannedAt() {
    return plannedAt;
  }

  /** Returns its current state. */
  public State state() {
    return state;
  }
}
