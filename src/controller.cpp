// Acceptance of changes, roll-outs, controller lease and orders to engines.
