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

  @Override
  public boolean equals(Object other) {
    return other instanceof MachineTypeId id && id.value.equals(value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
