/**
 * The scenario language: lines that describe a cluster, commands at points in time, and
 * expectations; also scenarios that are drawn from a seed or a table. Commands and expectations are
 * grouped in families, one class each.
 */
package org.mulleinshift.scenario;
