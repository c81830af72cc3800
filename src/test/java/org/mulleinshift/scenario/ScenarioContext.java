package org.mulleinshift.scenario;

import java.util.List;
import org.mulleinshift.invariants.InvariantChecker;
import org.mulleinshift.simulation.SimulatedCluster;
import org.mulleinshift.simulation.time.Timeline;

/**
 * What the commands and expectations of a scenario act on.
 *
 * @param failures takes what was not as expected
 */
record ScenarioContext(
    Timeline timeline, InvariantChecker checker, SimulatedCluster cluster, List<String> failures) {}
