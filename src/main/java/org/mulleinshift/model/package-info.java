/**
 * The cluster's objects in memory and in their stored form: jobs, task assignments, machines and
 * the control records.
 */
package org.mulleinshift.model;
