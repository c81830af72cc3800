package org.mulleinshift.scalerun;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Small scale runs of the packaged program; the checks do not depend on the machine's speed. */
class ScaleRunIT {
  private static final String[] SMALL = {
    "--workers=100", "--starts=30", "--teams=5", "--run-s=6", "--seconds=14", "--warmup-s=4"
  };

  @Test
  void noRuleIsBrokenThoughTheLeaderIsKilled() throws IOException, InterruptedException {
    assertEquals(List.of(), ScaleRun.violationsOf(SMALL, "--trouble=6:kill-leader"));
  }

  @Test
  void controllersThatAllowTooMuchAreCaught() throws IOException, InterruptedException {
    List<String> broken =
        ScaleRun.violationsOf(
            SMALL, "--wrong-limits=100", "--teams=1", "--team-limit=50", "--starts=60");
    assertTrue(broken.stream().anyMatch(line -> line.contains("quota")), "not caught: " + broken);
  }
}
