/** Who is in the fleet, and who holds which duty. */
export * from "./fleetMembership.js";
