/** Names of the services that nearly every other one needs. */
import type { Clock } from "./clock.js";
import { serviceName } from "./kernel.js";
import type { Random } from "./random.js";

export const clockName = serviceName<Clock>("clock");
export const randomName = serviceName<Random>("random");
