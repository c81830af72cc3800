package org.mulleinshift.scenario;

import static org.mulleinshift.scenario.Expectations.atMost;

import java.util.Map;
import org.mulleinshift.scenario.Expectations.Expectation;
import org.mulleinshift.simulation.SimulatedCloud;
import org.mulleinshift.simulation.SimulatedCluster;
import org.mulleinshift.simulation.SimulatedController;

/** Expectations about machines and controllers. */
final class ClusterExpectations {
  private ClusterExpectations() {}

  static void addTo(Map<String, Expectation> kinds, SimulatedCluster cluster) {
    SimulatedCloud cloud = cluster.cloud();
    kinds.put("machines", (line, limit) -> atMost(cloud.existingMachines().size(), line.number(1)));
    kinds.put("rented", (line, limit) -> atMost(cloud.createdCount(), line.number(1)));
    kinds.put("refusals", (line, limit) -> atMost(cloud.capacityErrors(), line.number(1)));
    kinds.put("waiting", (line, limit) -> atMost(maxPendingRequests(cluster), line.number(1)));
  }

  private static int maxPendingRequests(SimulatedCluster cluster) {
    return cluster.controllers().stream()
        .mapToInt(SimulatedController::maxPendingRequests)
        .max()
        .orElse(0);
  }
}
