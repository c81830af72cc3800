package org.mulleinshift.simulation;

import java.util.Optional;
import org.mulleinshift.invariants.MachineTraits;

/** A machine of the simulated cloud. Times are seconds of the simulation. */
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

  /** The name that the cloud gave it. */
  public String name() {
    return traits.name();
  }

  /** Where its worker listens, host and port. */
  public String address() {
    return address;
  }

  /** Name, type, zone and kind. */
  public MachineTraits traits() {
    return traits;
  }

  MachineSpec spec() {
    return spec;
  }

  /** The zone that it is in. */
  public String zone() {
    return traits.zone();
  }

  /** Whether the cloud has not deleted it. */
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

  /** The worker, once the machine has booted. */
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
