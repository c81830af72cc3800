package org.mulleinshift.protocol;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Sample submissions. Fields of the same type hold different values where possible, so that swapped
 * fields are noticed.
 */
public final class JobSpecSamples {
  private static final int TASKS = 16;
  private static final Resources LARGE_TASK = new Resources(8, 1, 64.5);
  private static final Resources SMALL_TASK = new Resources(2, 0, 4);
  private static final double IMAGE_GB = 6.2;
  private static final double ESTIMATE_SECONDS = 240;
  private static final double CHECKPOINT_SECONDS = 30;
  private static final double SAVE_SECONDS = 4.25;
  private static final double DEADLINE_SECONDS = 900;

  private JobSpecSamples() {}

  /** Returns a submission with all optional fields. */
  public static JobSpec full(JobId id, JobKind kind, Priority priority) {
    return new JobSpec(
        id,
        "train",
        new TeamId("vision"),
        kind,
        priority,
        TASKS,
        LARGE_TASK,
        "img-07",
        IMAGE_GB,
        Optional.of(List.of(new MachineTypeId("g8"), new MachineTypeId("g4"))),
        Optional.of(new ZoneId("a")),
        true,
        false,
        true,
        ESTIMATE_SECONDS,
        CHECKPOINT_SECONDS,
        SAVE_SECONDS,
        OptionalDouble.of(DEADLINE_SECONDS));
  }

  /** Returns an array job without machine types, zone and deadline. */
  public static JobSpec withoutOptionalFields(JobId id, int tasks) {
    return new JobSpec(
        id,
        "work",
        new TeamId("vision"),
        JobKind.ARRAY,
        Priority.NORMAL,
        tasks,
        SMALL_TASK,
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
