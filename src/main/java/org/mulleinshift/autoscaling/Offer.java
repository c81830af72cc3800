package org.mulleinshift.autoscaling;

import org.mulleinshift.model.ProvisioningRequest;
import org.mulleinshift.protocol.MachineTypeId;
import org.mulleinshift.protocol.ZoneId;

/**
 * A kind of machine in a zone, which the cloud may run out of.
 *
 * @param type machine type
 * @param zone where it is offered
 * @param spot whether it is preemptible
 */
record Offer(MachineTypeId type, ZoneId zone, boolean spot) {
  /** The offer that a provisioning request asks for. */
  static Offer of(ProvisioningRequest request) {
    return new Offer(request.type(), request.zone(), request.spot());
  }
}
