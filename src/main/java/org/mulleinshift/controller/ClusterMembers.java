package org.mulleinshift.controller;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.mulleinshift.protocol.NodeId;
import org.mulleinshift.settings.PlatformSettings;

/**
 * The controllers of the cluster according to the settings.
 *
 * @param self this controller
 * @param others all other controllers, in the order of the settings
 * @param otherZoneFirst all other controllers, those outside this controller's zone first
 */
record ClusterMembers(NodeId self, List<NodeId> others, List<NodeId> otherZoneFirst) {
  /** Reads the members from the settings. */
  static ClusterMembers of(PlatformSettings settings) {
    List<NodeId> others =
        settings.members().stream().map(member -> new NodeId(member.label())).toList();
    List<NodeId> otherZoneFirst =
        settings.members().stream()
            .sorted(Comparator.comparing(member -> member.zone().equals(settings.zone())))
            .map(member -> new NodeId(member.label()))
            .toList();
    return new ClusterMembers(new NodeId(settings.label()), others, otherZoneFirst);
  }

  /** Returns all controllers, this one first. */
  List<NodeId> all() {
    List<NodeId> all = new ArrayList<>(List.of(self));
    all.addAll(others);
    return all;
  }

  /** Returns whether the node is one of the other controllers. */
  boolean isOther(NodeId node) {
    return others.contains(node);
  }
}
