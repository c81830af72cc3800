/**
 * The HTTP interface for users: submissions, queries and cancellations at any controller, and
 * readiness. Answers about jobs that can still change are proven current first.
 */
package org.mulleinshift.api;
