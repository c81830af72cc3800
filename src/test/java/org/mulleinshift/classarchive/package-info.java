/**
 * Creates the program's class-data archive at build time: the packaged program runs in a separate
 * process against small simulated services, and the JVM writes the archive when the process exits.
 */
package org.mulleinshift.classarchive;
