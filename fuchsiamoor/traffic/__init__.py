"""Traffic by routes: what operators publish, where a request goes, and who waits."""
