package org.mulleinshift.simulation;

/**
 * A machine type that the cloud offers.
 *
 * @param ramGb memory per machine
 * @param bootSeconds typical time from the request until the worker runs
 */
public record MachineSpec(
    String name,
    double cpus,
    double ramGb,
    double onDemandPricePerHour,
    double spotPricePerHour,
    double bootSeconds) {}
