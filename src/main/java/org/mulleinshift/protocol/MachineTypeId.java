package org.mulleinshift.protocol;

/** The name of a machine type in the cloud's catalog. */
public record MachineTypeId(String value) implements TextId<MachineTypeId> {
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
