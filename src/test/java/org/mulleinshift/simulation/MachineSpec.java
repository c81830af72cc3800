package org.mulleinshift.simulation;

/**
 * A machine type that the cloud offers.
 *
 * @param ram in GB
 * @param bootSeconds usual time from the request until the worker runs
 */
public record MachineSpec(
    String name, double cpus, double ram, double price, double spotPrice, double bootSeconds) {}
