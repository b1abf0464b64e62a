/** A registry of named services, started in the order of registration and stopped in reverse order. */
import { invariant } from "@linkfall/errors";

/** A component with a life cycle. */
export interface Service {
  start(): Promise<void>;
  stop(): Promise<void>;
}

/** The name of a service, typed with the service's interface. */
export interface ServiceName<T> {
  readonly name: string;
  /** Never set; carries the type for inference. */
  readonly type?: T;
}

/** Declares the name of a service. */
export function serviceName<T>(name: string): ServiceName<T> {
  return { name };
}

/** The services of one process. */
export interface Kernel {
  /** Registers a service under its name; `lifecycle` is started and stopped with the kernel. */
  provide<T>(name: ServiceName<T>, service: T, lifecycle?: Partial<Service>): T;
  /** Returns a registered service; throws if there is none. */
  find<T>(name: ServiceName<T>): T;
  start(): Promise<void>;
  stop(): Promise<void>;
  /** Names of the services in the order of registration. */
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
