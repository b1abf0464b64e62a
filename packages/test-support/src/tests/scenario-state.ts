/** Values that the steps of one scenario hand to each other, by name. */

export interface ScenarioState {
  set(name: string, value: unknown): void;
  /** @throws when nothing was noted under the name, which is a mistake in the scenario. */
  get<T>(name: string): T;
}

const valuesByWorld = new WeakMap<object, Map<string, unknown>>();

/** The notes of the running scenario; `world` is Cucumber's `this`. */
export function scenarioState(world: object): ScenarioState {
  const values = valuesByWorld.get(world) ?? new Map<string, unknown>();
  valuesByWorld.set(world, values);
  return {
    set: (name, value) => void values.set(name, value),
    get<T>(name: string) {
      if (!values.has(name)) throw new Error(`no step has noted "${name}"`);
      return values.get(name) as T;
    },
  };
}
