"""The bench's wire: reads batches, calls the logic, writes what it decided. No decision is made here."""
