package org.mulleinshift.autoscaling;

import org.mulleinshift.placement.MachineCapacity;
import org.mulleinshift.protocol.Resources;

/**
 * Capacity of a machine that becomes available later.
 *
 * @param atSeconds when, from now on
 * @param capacity the machine
 * @param amount how much
 */
record CapacityRelease(double atSeconds, MachineCapacity capacity, Resources amount) {}
