package org.mulleinshift.protocol;

/** A type of machine. */
public record MachineTypeId(String value) implements Comparable<MachineTypeId> {
  @Override
  public int compareTo(MachineTypeId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
