package org.mulleinshift.autoscaling;

/** How much of a provisioning request the cloud refused. */
enum Refusal {
  /** Some machines were provisioned, but not all that were requested. */
  PARTIAL,
  /** No machine was provisioned. */
  TOTAL
}
