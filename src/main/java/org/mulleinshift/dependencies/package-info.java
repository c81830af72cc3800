/**
 * Jobs that depend on other jobs: the dependency graph, which jobs the end of a job releases,
 * cascading cancellation, and what a job inherits from its dependents.
 */
package org.mulleinshift.dependencies;
