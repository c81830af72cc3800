/**
 * Jobs that depend on other jobs: the dependency graph, what is released by which end, cascading
 * cancellation, and what a job inherits from its dependents.
 */
package org.mulleinshift.dependencies;
