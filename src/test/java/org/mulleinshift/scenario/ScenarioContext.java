package org.mulleinshift.scenario;

import java.util.List;
import org.mulleinshift.invariants.InvariantChecker;
import org.mulleinshift.simulation.SimulatedCluster;
import org.mulleinshift.simulation.time.Timeline;

/**
 * What the commands and expectations of a scenario act on.
 *
 * @param failures collects the failures that commands and expectations find
 */
record ScenarioContext(
    Timeline timeline, InvariantChecker checker, SimulatedCluster cluster, List<String> failures) {}
