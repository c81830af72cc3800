/**
 * The cluster's state in memory and in its stored form: jobs, task assignments, machines and
 * control records.
 */
package org.mulleinshift.model;
