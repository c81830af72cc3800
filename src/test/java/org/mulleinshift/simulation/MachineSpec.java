package org.mulleinshift.simulation;

/**
 * A machine type that the cloud offers.
 *
 * @param ramGb in GB
 * @param bootSeconds usual time from the request until the worker runs
 */
public record MachineSpec(
    String name,
    double cpus,
    double ramGb,
    double onDemandPricePerHour,
    double spotPricePerHour,
    double bootSeconds) {}
