/** The live instances of the fleet, and the assignment of tasks to them. */
export * from "./fleetMembership.js";
