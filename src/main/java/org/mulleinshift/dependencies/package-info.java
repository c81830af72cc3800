/**
 * Dependencies between jobs: the dependency graph, releasing and cancelling jobs when their
 * dependencies end, and inheriting priorities and deadlines from dependents.
 */
package org.mulleinshift.dependencies;
