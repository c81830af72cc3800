/**
 * The scenario language and its runner: a scenario's lines describe a cluster, commands at given
 * times, and expectations. Scenarios come from files, are generated from a seed, or are
 * combinations in a table of link cuts. Each class of commands or expectations covers one subject.
 */
package org.mulleinshift.scenario;
