/** Named services that find each other, started in the order of registration and stopped in reverse. */
import { invariant } from "@linkfall/errors";

/** Something with a life cycle. */
export interface Service {
  start(): Promise<void>;
  stop(): Promise<void>;
}

/** The name of a service together with the type of what stands behind it. */
export interface ServiceName<T> {
  readonly name: string;
  /** Carries the type only; never set. */
  readonly type?: T;
}

/** Declares the name of a service. */
export function serviceName<T>(name: string): ServiceName<T> {
  return { name };
}

/** Holds the services of one process. */
export interface Kernel {
  /** Registers a service under its name; `lifecycle` is started and stopped with the kernel. */
  provide<T>(name: ServiceName<T>, service: T, lifecycle?: Partial<Service>): T;
  /** Finds a service. One that is missing is a defect, not a condition to handle. */
  find<T>(name: ServiceName<T>): T;
  start(): Promise<void>;
  stop(): Promise<void>;
  /** Names in the order of registration. */
  names(): readonly string[];
}

/** Creates a kernel with no services. */
export function createKernel(): Kernel {
  const services = new Map<string, unknown>();
  const lifecycles: Partial<Service>[] = [];
  return {
    provide(name, service, lifecycle = {}) {
      invariant(!services.has(name.name), "service-once", () => name.name);
      services.set(name.name, service);
      lifecycles.push(lifecycle);
      return service;
    },
    find<T>(name: ServiceName<T>) {
      invariant(services.has(name.name), "service-known", () => name.name);
      return services.get(name.name) as T;
    },
    async start() {
      for (const lifecycle of lifecycles) await lifecycle.start?.();
    },
    async stop() {
      for (const lifecycle of [...lifecycles].reverse()) await lifecycle.stop?.();
    },
    names: () => [...services.keys()],
  };
}
