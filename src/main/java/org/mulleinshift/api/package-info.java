/**
 * The HTTP interface for users: submission, status and cancellation of jobs on any controller, and
 * the readiness check. A response about a job that can still change is confirmed to be current
 * first.
 */
package org.mulleinshift.api;
