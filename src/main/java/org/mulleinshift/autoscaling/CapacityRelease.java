package org.mulleinshift.autoscaling;

import org.mulleinshift.placement.MachineCapacity;
import org.mulleinshift.protocol.Resources;

/**
 * Capacity of a machine that becomes available later.
 *
 * @param atSeconds seconds from now until it becomes available
 * @param capacity the machine
 * @param amount the resources that become available
 */
record CapacityRelease(double atSeconds, MachineCapacity capacity, Resources amount) {}
