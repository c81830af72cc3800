package org.mulleinshift.autoscaling;

import org.mulleinshift.model.ProvisioningRequest;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.ZoneId;

/**
 * Machines of one type, zone and pricing model, which the cloud may run out of.
 *
 * @param type machine type
 * @param zone zone in which the machines are offered
 * @param spot whether the machines are preemptible
 */
record Offer(MachineTypeId type, ZoneId zone, boolean spot) {
  /** Returns the offer that a provisioning request is for. */
  static Offer of(ProvisioningRequest request) {
    return new Offer(request.type(), request.zone(), request.spot());
  }
}
