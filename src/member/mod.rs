//! the view of the instances that all modules read.

mod member_view;

pub use member_view::Member;
pub use member_view::MemberView;
