/** Typed, validated settings: the platform's settings file and the operators' tunables. */
package org.mulleinshift.settings;
