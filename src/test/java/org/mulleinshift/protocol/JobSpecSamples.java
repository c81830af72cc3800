package org.mulleinshift.protocol;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

/** Submissions whose fields all hold different values where they have the same type. */
public final class JobSpecSamples {
  private JobSpecSamples() {}

  /** A submission with all optional fields. */
  public static JobSpec full(JobId id, JobKind kind, Priority priority) {
    return new JobSpec(
        id,
        "train",
        new TeamId("vision"),
        kind,
        priority,
        16,
        new Resources(8, 1, 64.5),
        "img-07",
        6.2,
        Optional.of(List.of(new MachineTypeId("g8"), new MachineTypeId("g4"))),
        Optional.of(new ZoneId("a")),
        true,
        false,
        true,
        240,
        30,
        4.25,
        OptionalDouble.of(900));
  }

  /** An array without machine types, zone and deadline. */
  public static JobSpec withoutOptionalFields(JobId id, int tasks) {
    return new JobSpec(
        id,
        "work",
        new TeamId("vision"),
        JobKind.ARRAY,
        Priority.NORMAL,
        tasks,
        new Resources(2, 0, 4),
        "img-1",
        0,
        Optional.empty(),
        Optional.empty(),
        false,
        true,
        false,
        10,
        0,
        0,
        OptionalDouble.empty());
  }
}
