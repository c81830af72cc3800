/**
 * The HTTP interface for users: submissions, queries and cancellations at any controller, and the
 * readiness check. Answers about jobs that can still change are confirmed to be current first.
 */
package org.mulleinshift.api;
