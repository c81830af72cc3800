package org.mulleinshift.simulation;

import java.util.Optional;
import org.mulleinshift.invariants.MachineTraits;

/** A machine of the simulated cloud. Times are in seconds of simulated time. */
public final class SimulatedMachine {
  private final MachineTraits traits;
  private final String address;
  private final MachineSpec spec;
  private final double createdAt;
  private double deletedAt = Double.MAX_VALUE;
  private double bootedAt = Double.MAX_VALUE;
  private SimulatedWorker worker;

  SimulatedMachine(MachineTraits traits, String address, MachineSpec spec, double createdAt) {
    this.traits = traits;
    this.address = address;
    this.spec = spec;
    this.createdAt = createdAt;
  }

  /** The name that the cloud assigned. */
  public String name() {
    return traits.name();
  }

  /** The address of its worker, as host and port. */
  public String address() {
    return address;
  }

  /** Name, type, zone and whether it is a spot machine. */
  public MachineTraits traits() {
    return traits;
  }

  MachineSpec spec() {
    return spec;
  }

  /** The zone in which the machine runs. */
  public String zone() {
    return traits.zone();
  }

  /** Whether the machine is not deleted, booted or not. */
  public boolean exists() {
    return deletedAt == Double.MAX_VALUE;
  }

  boolean existedAt(double moment) {
    return createdAt <= moment && deletedAt > moment;
  }

  boolean bootedBy(double moment) {
    return bootedAt <= moment;
  }

  double ageAt(double moment) {
    return moment - createdAt;
  }

  /** The worker; empty until the machine has booted. */
  public Optional<SimulatedWorker> worker() {
    return Optional.ofNullable(worker);
  }

  /** Whether the machine exists and its worker has started. */
  boolean isRunning() {
    return exists() && worker != null;
  }

  void onBooted(SimulatedWorker started, double now) {
    worker = started;
    bootedAt = now;
  }

  void onDeleted(double now) {
    deletedAt = now;
    worker().ifPresent(SimulatedWorker::onMachineDeleted);
  }
}
