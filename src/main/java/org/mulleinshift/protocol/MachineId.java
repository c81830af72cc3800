package org.mulleinshift.protocol;

/** The name of a machine, assigned by the cloud. */
public record MachineId(String value) implements TextId<MachineId> {
  @Override
  public String toString() {
    return value;
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof MachineId id && id.value.equals(value);
  }

  @Override
  public int hashCode() {
    return value.hashCode();
  }
}
